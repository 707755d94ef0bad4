/** Tests and benchmark of the choice of a group. */
@NullMarked
package org.limpetring.routing.choose;

import org.jspecify.annotations.NullMarked;
