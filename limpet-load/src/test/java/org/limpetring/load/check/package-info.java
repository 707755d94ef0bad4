/** Tests of the checks of the promises. */
@NullMarked
package org.limpetring.load.check;

import org.jspecify.annotations.NullMarked;
