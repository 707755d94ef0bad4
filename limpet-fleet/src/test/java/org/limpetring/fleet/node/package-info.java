/** Tests of whole daemons over fakes. */
@NullMarked
package org.limpetring.fleet.node;

import org.jspecify.annotations.NullMarked;
