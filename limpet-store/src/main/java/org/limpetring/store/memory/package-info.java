/** In-memory object store with fault injection, used by the stand-in and by tests. */
@NullMarked
package org.limpetring.store.memory;

import org.jspecify.annotations.NullMarked;
