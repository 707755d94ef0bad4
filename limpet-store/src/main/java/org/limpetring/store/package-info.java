/** Ports to the platform: object store, host list and weight store. */
@NullMarked
package org.limpetring.store;

import org.jspecify.annotations.NullMarked;
