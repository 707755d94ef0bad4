/** State of the simulated hosts: faults that are in effect and the log of what ran. */
@NullMarked
package org.limpetring.standin.host;

import org.jspecify.annotations.NullMarked;
