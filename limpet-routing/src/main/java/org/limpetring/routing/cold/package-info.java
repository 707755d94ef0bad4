/**
 * Concurrency budget of cold groups, and detection of groups that turned cold while reporting warm.
 */
@NullMarked
package org.limpetring.routing.cold;

import org.jspecify.annotations.NullMarked;
