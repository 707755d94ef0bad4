/** Tests of cold budgets. */
@NullMarked
package org.limpetring.routing.cold;

import org.jspecify.annotations.NullMarked;
