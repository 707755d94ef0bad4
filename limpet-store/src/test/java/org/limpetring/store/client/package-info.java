/** Tests of conditional writes, watches and the budget of platform calls. */
@NullMarked
package org.limpetring.store.client;

import org.jspecify.annotations.NullMarked;
