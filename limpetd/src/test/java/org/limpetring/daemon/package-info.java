/** Tests across modules: layers and documents. */
@NullMarked
package org.limpetring.daemon;

import org.jspecify.annotations.NullMarked;
