/** How recently this daemon could have learnt of a change. */
@NullMarked
package org.limpetring.fleet.freshness;

import org.jspecify.annotations.NullMarked;
