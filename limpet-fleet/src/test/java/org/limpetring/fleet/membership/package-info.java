/** Tests of failure detection. */
@NullMarked
package org.limpetring.fleet.membership;

import org.jspecify.annotations.NullMarked;
