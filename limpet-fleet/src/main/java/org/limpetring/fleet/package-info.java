/**
 * Daemon roster, role assignment, failure detection, knowledge freshness and configuration
 * distribution.
 */
@NullMarked
package org.limpetring.fleet;

import org.jspecify.annotations.NullMarked;
