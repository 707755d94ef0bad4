/** The object store in memory with fault switches; the core of the stand-in and of tests. */
@NullMarked
package org.limpetring.store.memory;

import org.jspecify.annotations.NullMarked;
