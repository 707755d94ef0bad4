/** Decisions on the path of a request: match, choose, admit, limit, retry, claim. */
@NullMarked
package org.limpetring.routing;

import org.jspecify.annotations.NullMarked;
