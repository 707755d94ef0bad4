/** Tests of the discipline of platform calls. */
@NullMarked
package org.limpetring.store.client;

import org.jspecify.annotations.NullMarked;
