/** Tests of the operators' command line. */
@NullMarked
package org.limpetring.ctl;

import org.jspecify.annotations.NullMarked;
