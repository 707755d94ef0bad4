/** State of the simulated hosts: active faults and the request log. */
@NullMarked
package org.limpetring.standin.host;

import org.jspecify.annotations.NullMarked;
