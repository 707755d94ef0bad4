/** Tests of the load tool, and failure tests that run it against real processes. */
@NullMarked
package org.limpetring.load;

import org.jspecify.annotations.NullMarked;
