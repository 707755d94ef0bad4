/** Adapter to upstreams over HTTP. */
@NullMarked
package org.limpetring.engine.http;

import org.jspecify.annotations.NullMarked;
