/** Narrow ports to the platform: object store, host list, weight store. */
@NullMarked
package org.limpetring.store;

import org.jspecify.annotations.NullMarked;
