/** Port through which a daemon talks to upstreams, and its adapters. */
@NullMarked
package org.limpetring.engine;

import org.jspecify.annotations.NullMarked;
