org.rattanport.benchmark.demo.DemoCommand
