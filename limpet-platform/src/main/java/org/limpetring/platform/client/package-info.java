/** How calls to the platform are paced, repeated, settled after lost answers and kept alive. */
@NullMarked
package org.limpetring.platform.client;

import org.jspecify.annotations.NullMarked;
