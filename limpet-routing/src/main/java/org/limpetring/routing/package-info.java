/**
 * Decisions on the request path: route matching, group choice, admission, limits, retries and
 * claims.
 */
@NullMarked
package org.limpetring.routing;

import org.jspecify.annotations.NullMarked;
