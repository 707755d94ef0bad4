/** How calls to the platform are paced, repeated, settled after lost answers and kept alive. */
@NullMarked
package org.limpetring.store.client;

import org.jspecify.annotations.NullMarked;
