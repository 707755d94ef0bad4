/** Narrow ports to the platform: object store, host list, weight store. */
@NullMarked
package org.limpetring.platform;

import org.jspecify.annotations.NullMarked;
