/** Load and experiment tool. */
@NullMarked
package org.limpetring.load;

import org.jspecify.annotations.NullMarked;
