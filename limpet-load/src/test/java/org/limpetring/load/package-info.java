/** Tests of the load tool, and failure tests of real processes that it drives. */
@NullMarked
package org.limpetring.load;

import org.jspecify.annotations.NullMarked;
