/** Tests and measurements of admission. */
@NullMarked
package org.limpetring.routing.admit;

import org.jspecify.annotations.NullMarked;
