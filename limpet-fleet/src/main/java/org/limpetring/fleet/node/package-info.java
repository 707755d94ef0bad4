/** The machines of this library joined into one daemon, and the threads that drive them. */
@NullMarked
package org.limpetring.fleet.node;

import org.jspecify.annotations.NullMarked;
