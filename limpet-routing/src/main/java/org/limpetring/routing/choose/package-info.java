/** Choice of the route and of the group that gets a request. */
@NullMarked
package org.limpetring.routing.choose;

import org.jspecify.annotations.NullMarked;
