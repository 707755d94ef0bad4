/** Tests of the daemon as a whole: layers, documents, settings. */
@NullMarked
package org.limpetring.daemon;

import org.jspecify.annotations.NullMarked;
