/** Maps requests to routes, teams and services. */
@NullMarked
package org.limpetring.entry.route;

import org.jspecify.annotations.NullMarked;
