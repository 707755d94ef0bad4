/** Tests of the transport between daemons. */
@NullMarked
package org.limpetring.peer;

import org.jspecify.annotations.NullMarked;
