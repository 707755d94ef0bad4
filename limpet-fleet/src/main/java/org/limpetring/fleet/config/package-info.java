/** Validates the operators' tables and maintains the accepted configuration that is in force. */
@NullMarked
package org.limpetring.fleet.config;

import org.jspecify.annotations.NullMarked;
