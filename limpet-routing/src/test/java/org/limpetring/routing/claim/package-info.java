/** Tests and measurements of claims. */
@NullMarked
package org.limpetring.routing.claim;

import org.jspecify.annotations.NullMarked;
