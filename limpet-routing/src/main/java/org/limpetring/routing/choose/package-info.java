/** Selects the route of a request and the group that it is sent to. */
@NullMarked
package org.limpetring.routing.choose;

import org.jspecify.annotations.NullMarked;
