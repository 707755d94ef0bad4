/** Tests and a benchmark of group selection. */
@NullMarked
package org.limpetring.routing.choose;

import org.jspecify.annotations.NullMarked;
