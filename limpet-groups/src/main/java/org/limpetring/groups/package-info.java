/** Formation of groups, orders to their members and whether they serve. */
@NullMarked
package org.limpetring.groups;

import org.jspecify.annotations.NullMarked;
