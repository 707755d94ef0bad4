/** Tests that exclusive roles never have too many holders while the roster changes. */
@NullMarked
package org.limpetring.fleet.role;

import org.jspecify.annotations.NullMarked;
