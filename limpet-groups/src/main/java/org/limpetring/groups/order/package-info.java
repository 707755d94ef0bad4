/** Selection and rate limiting of the orders to members. */
@NullMarked
package org.limpetring.groups.order;

import org.jspecify.annotations.NullMarked;
