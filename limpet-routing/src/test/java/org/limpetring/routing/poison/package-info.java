/** Tests of the book of poison requests. */
@NullMarked
package org.limpetring.routing.poison;

import org.jspecify.annotations.NullMarked;
