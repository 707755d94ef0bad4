/** Tests of the stand-ins over real sockets. */
@NullMarked
package org.limpetring.standin;

import org.jspecify.annotations.NullMarked;
