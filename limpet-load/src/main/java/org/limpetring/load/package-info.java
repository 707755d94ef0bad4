/** Load generator that runs experiments against the system and checks its guarantees. */
@NullMarked
package org.limpetring.load;

import org.jspecify.annotations.NullMarked;
