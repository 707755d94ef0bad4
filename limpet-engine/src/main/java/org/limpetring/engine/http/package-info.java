/** HTTP adapter of the port to upstreams. */
@NullMarked
package org.limpetring.engine.http;

import org.jspecify.annotations.NullMarked;
