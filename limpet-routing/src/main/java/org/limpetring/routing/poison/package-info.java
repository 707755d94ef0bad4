/** Detection of poison requests, which crash the upstreams that run them. */
@NullMarked
package org.limpetring.routing.poison;

import org.jspecify.annotations.NullMarked;
