/** Tests that span several parts of the request path. */
@NullMarked
package org.limpetring.routing;

import org.jspecify.annotations.NullMarked;
