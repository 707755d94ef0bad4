/** Tests of the shared value types. */
@NullMarked
package org.limpetring.base;

import org.jspecify.annotations.NullMarked;
