/** Tests of the checks of the guarantees. */
@NullMarked
package org.limpetring.load.check;

import org.jspecify.annotations.NullMarked;
