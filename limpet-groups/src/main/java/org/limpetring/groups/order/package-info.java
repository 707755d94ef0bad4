/** Orders to members and the pace at which they go out. */
@NullMarked
package org.limpetring.groups.order;

import org.jspecify.annotations.NullMarked;
