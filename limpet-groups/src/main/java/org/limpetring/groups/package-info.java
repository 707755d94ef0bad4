/** Group formation, orders to members and group health. */
@NullMarked
package org.limpetring.groups;

import org.jspecify.annotations.NullMarked;
