/** Tests of the poison request tracker. */
@NullMarked
package org.limpetring.routing.poison;

import org.jspecify.annotations.NullMarked;
