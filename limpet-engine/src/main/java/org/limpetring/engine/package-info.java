/** Port to upstreams and the adapters behind it. */
@NullMarked
package org.limpetring.engine;

import org.jspecify.annotations.NullMarked;
