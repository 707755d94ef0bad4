/** Decides which route and team a request belongs to. */
@NullMarked
package org.limpetring.entry.route;

import org.jspecify.annotations.NullMarked;
