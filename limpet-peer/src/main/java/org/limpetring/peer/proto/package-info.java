/** Messages between daemons, generated from {@code peer.proto} by {@code bin/generate-proto}. */
@NullMarked
package org.limpetring.peer.proto;

import org.jspecify.annotations.NullMarked;
