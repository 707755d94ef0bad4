/** Tests of complete daemons with a fake store and network. */
@NullMarked
package org.limpetring.fleet.node;

import org.jspecify.annotations.NullMarked;
